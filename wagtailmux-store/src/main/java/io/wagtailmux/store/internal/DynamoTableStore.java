package io.wagtailmux.store.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import software.amazon.awssdk.auth.credentials.AwsBasicCredentials;
import software.amazon.awssdk.auth.credentials.StaticCredentialsProvider;
import software.amazon.awssdk.awscore.retry.AwsRetryStrategy;
import software.amazon.awssdk.core.exception.SdkClientException;
import software.amazon.awssdk.core.exception.SdkException;
import software.amazon.awssdk.http.urlconnection.UrlConnectionHttpClient;
import software.amazon.awssdk.regions.Region;
import software.amazon.awssdk.services.dynamodb.DynamoDbClient;
import software.amazon.awssdk.services.dynamodb.model.AttributeValue;
import software.amazon.awssdk.services.dynamodb.model.CancellationReason;
import software.amazon.awssdk.services.dynamodb.model.ConditionCheck;
import software.amazon.awssdk.services.dynamodb.model.DynamoDbException;
import software.amazon.awssdk.services.dynamodb.model.Put;
import software.amazon.awssdk.services.dynamodb.model.TransactWriteItem;
import software.amazon.awssdk.services.dynamodb.model.TransactionCanceledException;

import io.wagtailmux.store.ClientToken;
import io.wagtailmux.store.CommitResult;
import io.wagtailmux.store.ConditionalWrite;
import io.wagtailmux.store.PlatformAddresses;
import io.wagtailmux.store.PlatformErrorCode;
import io.wagtailmux.store.PlatformException;
import io.wagtailmux.store.RecordKey;
import io.wagtailmux.store.TableRecord;
import io.wagtailmux.store.TableStore;

/**
 * Client of the platform's table over the DynamoDB wire protocol.
 *
 * <p>
 * Retries of the SDK are disabled: if no answer arrives, the caller decides whether the
 * call may be repeated. Server errors and missing answers are reported as
 * {@link PlatformErrorCode#UNKNOWN_OUTCOME}, refused requests and failed connections as
 * {@link PlatformErrorCode#UNAVAILABLE}.
 *
 * @author the wagtailmux developers
 */
public final class DynamoTableStore implements TableStore {

	private static final String PARTITION = "partition";

	private static final String SORT = "sort";

	private static final String VERSION = "version";

	private static final String VALUE = "value";

	private static final String CONDITION_FAILED = "ConditionalCheckFailed";

	private static final String NO_REASON = "None";

	private static final int SERVER_ERROR_STATUS = 500;

	private final DynamoDbClient client;

	private final String tableName;

	private DynamoTableStore(DynamoDbClient client, String tableName) {
		this.client = client;
		this.tableName = tableName;
	}

	/**
	 * Creates a client of the table without calling it.
	 * @param addresses the address of the table service, the table's name and the timeout
	 * @return the client
	 */
	public static DynamoTableStore connect(PlatformAddresses addresses) {
		DynamoDbClient client = DynamoDbClient.builder()
			.endpointOverride(addresses.table())
			.region(Region.of("platform"))
			.credentialsProvider(StaticCredentialsProvider.create(AwsBasicCredentials.create("instance", "instance")))
			.httpClient(UrlConnectionHttpClient.builder()
				.socketTimeout(addresses.timeout())
				.connectionTimeout(addresses.timeout())
				.build())
			.overrideConfiguration((override) -> override.retryStrategy(AwsRetryStrategy.doNotRetry()))
			.build();
		return new DynamoTableStore(client, addresses.tableName());
	}

	@Override
	public Optional<TableRecord> get(RecordKey key) {
		return translateExceptions("get " + key, () -> {
			Map<String, AttributeValue> item = this.client
				.getItem((request) -> request.tableName(this.tableName).consistentRead(true).key(keyOf(key)))
				.item();
			return item.isEmpty() ? Optional.empty() : Optional.of(recordOf(item));
		});
	}

	@Override
	public List<TableRecord> list(String partition) {
		return translateExceptions("list " + partition,
				() -> this.client
					.queryPaginator((request) -> request.tableName(this.tableName)
						.consistentRead(true)
						.keyConditionExpression("#p = :p")
						.expressionAttributeNames(Map.of("#p", PARTITION))
						.expressionAttributeValues(Map.of(":p", AttributeValue.fromS(partition))))
					.items()
					.stream()
					.map(DynamoTableStore::recordOf)
					.toList());
	}

	@Override
	public CommitResult commit(List<ConditionalWrite> writes, ClientToken token) {
		return translateExceptions("commit " + writes.get(0).key(), () -> {
			try {
				List<TransactWriteItem> items = writes.stream().map(this::itemOf).toList();
				this.client
					.transactWriteItems((request) -> request.clientRequestToken(token.value()).transactItems(items));
				return CommitResult.COMMITTED;
			}
			catch (TransactionCanceledException ex) {
				return new CommitResult(conflicts(writes, ex));
			}
		});
	}

	private TransactWriteItem itemOf(ConditionalWrite write) {
		boolean mustNotExist = write.expectedVersion() == 0;
		String condition = mustNotExist ? "attribute_not_exists(#v)" : "#v = :v";
		Map<String, String> names = Map.of("#v", VERSION);
		Map<String, AttributeValue> values = mustNotExist ? null : Map.of(":v", number(write.expectedVersion()));
		if (write.value().isEmpty()) {
			return TransactWriteItem.builder()
				.conditionCheck(ConditionCheck.builder()
					.tableName(this.tableName)
					.key(keyOf(write.key()))
					.conditionExpression(condition)
					.expressionAttributeNames(names)
					.expressionAttributeValues(values)
					.build())
				.build();
		}
		Map<String, AttributeValue> item = Map.of(PARTITION, AttributeValue.fromS(write.key().partition()), SORT,
				AttributeValue.fromS(write.key().sort()), VERSION, number(write.expectedVersion() + 1), VALUE,
				AttributeValue.fromS(write.value().get()));
		return TransactWriteItem.builder()
			.put(Put.builder()
				.tableName(this.tableName)
				.item(item)
				.conditionExpression(condition)
				.expressionAttributeNames(names)
				.expressionAttributeValues(values)
				.build())
			.build();
	}

	private static Set<RecordKey> conflicts(List<ConditionalWrite> writes, TransactionCanceledException ex) {
		Set<RecordKey> conflicts = new HashSet<>();
		List<CancellationReason> reasons = new ArrayList<>(ex.cancellationReasons());
		for (int index = 0; index < reasons.size(); index++) {
			String code = reasons.get(index).code();
			if (CONDITION_FAILED.equals(code)) {
				conflicts.add(writes.get(index).key());
			}
			else if (code != null && !NO_REASON.equals(code)) {
				throw new PlatformException(PlatformErrorCode.UNAVAILABLE, "transaction cancelled: " + code, ex);
			}
		}
		return conflicts;
	}

	private static <T> T translateExceptions(String operation, Supplier<T> call) {
		try {
			return call.get();
		}
		catch (DynamoDbException ex) {
			PlatformErrorCode code = (ex.statusCode() >= SERVER_ERROR_STATUS) ? PlatformErrorCode.UNKNOWN_OUTCOME
					: PlatformErrorCode.UNAVAILABLE;
			throw new PlatformException(code, operation + ": " + ex.awsErrorDetails(), ex);
		}
		catch (SdkClientException ex) {
			throw new PlatformException(ConnectFailures.codeOf(ex), operation + ": " + ex.getMessage(), ex);
		}
		catch (SdkException ex) {
			throw new PlatformException(PlatformErrorCode.UNKNOWN_OUTCOME, operation + ": " + ex.getMessage(), ex);
		}
	}

	private static Map<String, AttributeValue> keyOf(RecordKey key) {
		return Map.of(PARTITION, AttributeValue.fromS(key.partition()), SORT, AttributeValue.fromS(key.sort()));
	}

	private static AttributeValue number(long value) {
		return AttributeValue.fromN(Long.toString(value));
	}

	private static TableRecord recordOf(Map<String, AttributeValue> item) {
		RecordKey key = new RecordKey(item.get(PARTITION).s(), item.get(SORT).s());
		return new TableRecord(key, Long.parseLong(item.get(VERSION).n()), item.get(VALUE).s());
	}

}
