package io.wagtailmux.testbed.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * The table of a stand-in of the platform, in memory: the part of the DynamoDB protocol
 * that {@code TableStore} uses. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class StandInTable {

	private static final String ERROR_TYPE = "com.amazonaws.dynamodb.v20120810#";

	private final Map<String, TreeMap<String, JsonObject>> partitions = new HashMap<>();

	private final Map<String, JsonObject> answersByToken = new HashMap<>();

	/**
	 * Executes an operation.
	 * @param operation the name of the operation, for example {@code GetItem}
	 * @param request the parameters of the operation
	 * @return the result, or an error, which has the member {@code __type}
	 */
	synchronized JsonObject execute(String operation, JsonObject request) {
		return switch (operation) {
			case "GetItem" -> getItem(request.getAsJsonObject("Key"));
			case "Query" -> query(request.getAsJsonObject("ExpressionAttributeValues").getAsJsonObject(":p"));
			case "TransactWriteItems" -> transactOnce(request);
			default -> error("UnknownOperationException", operation);
		};
	}

	private JsonObject getItem(JsonObject key) {
		JsonObject answer = new JsonObject();
		JsonObject item = find(key);
		if (item != null) {
			answer.add("Item", item);
		}
		return answer;
	}

	private JsonObject query(JsonObject partition) {
		JsonArray items = new JsonArray();
		this.partitions.getOrDefault(partition.get("S").getAsString(), new TreeMap<>()).values().forEach(items::add);
		JsonObject answer = new JsonObject();
		answer.add("Items", items);
		answer.addProperty("Count", items.size());
		answer.addProperty("ScannedCount", items.size());
		return answer;
	}

	// Returns the recorded result if the transaction with the token has succeeded before.
	private JsonObject transactOnce(JsonObject request) {
		String token = request.get("ClientRequestToken").getAsString();
		JsonObject known = this.answersByToken.get(token);
		if (known != null) {
			return known;
		}
		JsonObject answer = transact(request.getAsJsonArray("TransactItems"));
		if (!answer.has("__type")) {
			this.answersByToken.put(token, answer);
		}
		return answer;
	}

	private JsonObject transact(JsonArray items) {
		List<String> reasons = new ArrayList<>();
		for (JsonElement element : items) {
			JsonObject entry = element.getAsJsonObject();
			boolean put = entry.has("Put");
			JsonObject write = entry.getAsJsonObject(put ? "Put" : "ConditionCheck");
			JsonObject found = find(write.getAsJsonObject(put ? "Item" : "Key"));
			reasons.add(conditionHolds(write, found) ? "None" : "ConditionalCheckFailed");
		}
		if (reasons.contains("ConditionalCheckFailed")) {
			return cancelled(reasons);
		}
		for (JsonElement element : items) {
			if (element.getAsJsonObject().has("Put")) {
				store(element.getAsJsonObject().getAsJsonObject("Put").getAsJsonObject("Item"));
			}
		}
		return new JsonObject();
	}

	private static boolean conditionHolds(JsonObject write, JsonObject found) {
		String condition = write.get("ConditionExpression").getAsString();
		if ("attribute_not_exists(#v)".equals(condition)) {
			return found == null;
		}
		JsonObject expected = write.getAsJsonObject("ExpressionAttributeValues").getAsJsonObject(":v");
		return found != null && found.getAsJsonObject("version").equals(expected);
	}

	private JsonObject find(JsonObject key) {
		TreeMap<String, JsonObject> partition = this.partitions.get(text(key, "partition"));
		return (partition != null) ? partition.get(text(key, "sort")) : null;
	}

	private void store(JsonObject item) {
		this.partitions.computeIfAbsent(text(item, "partition"), (name) -> new TreeMap<>())
			.put(text(item, "sort"), item);
	}

	private static String text(JsonObject item, String attribute) {
		return item.getAsJsonObject(attribute).get("S").getAsString();
	}

	private static JsonObject cancelled(List<String> reasons) {
		JsonObject answer = error("TransactionCanceledException", "Transaction cancelled");
		JsonArray list = new JsonArray();
		for (String reason : reasons) {
			JsonObject entry = new JsonObject();
			entry.addProperty("Code", reason);
			list.add(entry);
		}
		answer.add("CancellationReasons", list);
		return answer;
	}

	private static JsonObject error(String type, String message) {
		JsonObject answer = new JsonObject();
		answer.addProperty("__type", ERROR_TYPE + type);
		answer.addProperty("message", message);
		return answer;
	}

}
