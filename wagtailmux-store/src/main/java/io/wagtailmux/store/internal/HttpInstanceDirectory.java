package io.wagtailmux.store.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.reflect.TypeToken;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.store.InstanceDirectory;
import io.wagtailmux.store.ListedInstance;
import io.wagtailmux.store.PlatformAddresses;
import io.wagtailmux.store.PlatformErrorCode;
import io.wagtailmux.store.PlatformException;

/**
 * Reads the list of instances in the JSON format of Prometheus HTTP service discovery.
 * Each instance is a target group with one target and the labels {@code instance},
 * {@code availability_zone} and {@code leaving}, which is {@code true} while the platform
 * is stopping the instance.
 *
 * @author the wagtailmux developers
 */
public final class HttpInstanceDirectory implements InstanceDirectory {

	private final Gson gson = new Gson();

	private final OkHttpClient client;

	private final PlatformAddresses addresses;

	/**
	 * Creates a client of the list without calling it.
	 * @param addresses the address of the list and the timeout
	 */
	public HttpInstanceDirectory(PlatformAddresses addresses) {
		this.client = new OkHttpClient.Builder().callTimeout(addresses.timeout()).build();
		this.addresses = addresses;
	}

	@Override
	public List<ListedInstance> list() {
		Request request = new Request.Builder().url(this.addresses.instances().toString()).build();
		try (Response response = this.client.newCall(request).execute()) {
			if (!response.isSuccessful()) {
				throw new PlatformException(PlatformErrorCode.UNAVAILABLE,
						"list instances: HTTP status " + response.code(), null);
			}
			List<TargetGroup> groups = this.gson.fromJson(response.body().charStream(), new TypeToken<>() {
			});
			return groups.stream().map(HttpInstanceDirectory::toInstance).toList();
		}
		catch (IOException ex) {
			throw new PlatformException(PlatformErrorCode.UNAVAILABLE, "list instances: " + ex.getMessage(), ex);
		}
		catch (JsonParseException ex) {
			throw new PlatformException(PlatformErrorCode.MALFORMED_ANSWER, "list instances: " + ex.getMessage(), ex);
		}
	}

	private static ListedInstance toInstance(TargetGroup group) {
		String target = group.targets.get(0);
		int colon = target.lastIndexOf(':');
		InetSocketAddress address = new InetSocketAddress(target.substring(0, colon),
				Integer.parseInt(target.substring(colon + 1)));
		String stopping = Optional.ofNullable(group.labels.get("leaving")).orElse("false");
		return new ListedInstance(new InstanceId(group.labels.get("instance")),
				new AvailabilityZoneId(group.labels.get("availability_zone")), address, Boolean.parseBoolean(stopping));
	}

	private static final class TargetGroup {

		private List<String> targets;

		private Map<String, String> labels;

	}

}
