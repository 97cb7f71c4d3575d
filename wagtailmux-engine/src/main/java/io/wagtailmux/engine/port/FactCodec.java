package io.wagtailmux.engine.port;

import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * Knows where in the store facts stand and reads their rows.
 *
 * @author the wagtailmux developers
 */
public interface FactCodec {

	/**
	 * Names the table of endpoints' entries.
	 * @return the table
	 */
	String endpointTable();

	/**
	 * Names the table that the operator writes.
	 * @return the table
	 */
	String operatorTable();

	/**
	 * Names the table of what the operator is told.
	 * @return the table
	 */
	String statusTable();

	/**
	 * Names the row that tells of a pool's move to another version.
	 * @param pool the pool
	 * @return the row's key
	 */
	String rolloutStatusKey(PoolId pool);

	/**
	 * Reads what the operator was told of a move.
	 * @param row the row
	 * @return the status
	 * @throws ProtocolException if the row cannot be read
	 */
	RolloutStatus rolloutStatus(StoredRow row);

	/**
	 * Encodes what the operator is told of a move.
	 * @param status the status
	 * @return the row's value
	 */
	byte[] encode(RolloutStatus status);

	/**
	 * Reads an endpoint's entry.
	 * @param row the row
	 * @return the entry
	 * @throws ProtocolException if it names no endpoint that can be used
	 */
	RegisteredEndpoint endpoint(StoredRow row);

	/**
	 * Reads what the operator wrote.
	 * @param row the row
	 * @return the fact
	 * @throws ProtocolException if the row cannot be read
	 */
	OperatorFact operatorFact(StoredRow row);

}
