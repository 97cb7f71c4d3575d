package io.wagtailmux.engine.port;

import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * Maps facts (endpoint entries, operator decisions and rollout statuses) to the tables,
 * keys and values of the store. Rows are encoded and decoded on the control thread.
 *
 * @author the wagtailmux developers
 */
public interface FactCodec {

	/**
	 * Returns the table that endpoints write their entries to.
	 * @return the name of the table
	 */
	String endpointTable();

	/**
	 * Returns the table that the operator writes to.
	 * @return the name of the table
	 */
	String operatorTable();

	/**
	 * Returns the table of statuses that instances write for the operator.
	 * @return the name of the table
	 */
	String statusTable();

	/**
	 * Returns the key of the row that holds the status of a pool's rollout.
	 * @param pool the pool
	 * @return the key in the status table
	 */
	String rolloutStatusKey(PoolId pool);

	/**
	 * Decodes the status of a rollout.
	 * @param row the row
	 * @return the status
	 * @throws ProtocolException if the value cannot be parsed
	 */
	RolloutStatus rolloutStatus(StoredRow row);

	/**
	 * Encodes the status of a rollout.
	 * @param status the status
	 * @return the value of the row
	 */
	byte[] encode(RolloutStatus status);

	/**
	 * Decodes an endpoint's entry.
	 * @param row the row
	 * @return the entry
	 * @throws ProtocolException if the row does not describe a usable endpoint
	 */
	RegisteredEndpoint endpoint(StoredRow row);

	/**
	 * Decodes a row that the operator wrote.
	 * @param row the row
	 * @return the fact; {@link OperatorFact.Irrelevant} if instances ignore the row
	 * @throws ProtocolException if the row cannot be parsed
	 */
	OperatorFact operatorFact(StoredRow row);

}
