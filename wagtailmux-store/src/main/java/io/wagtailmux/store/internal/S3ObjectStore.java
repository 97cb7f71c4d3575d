package io.wagtailmux.store.internal;

import java.util.Optional;

import software.amazon.awssdk.auth.credentials.AwsBasicCredentials;
import software.amazon.awssdk.auth.credentials.StaticCredentialsProvider;
import software.amazon.awssdk.awscore.retry.AwsRetryStrategy;
import software.amazon.awssdk.core.checksums.RequestChecksumCalculation;
import software.amazon.awssdk.core.checksums.ResponseChecksumValidation;
import software.amazon.awssdk.core.exception.SdkException;
import software.amazon.awssdk.core.sync.RequestBody;
import software.amazon.awssdk.http.urlconnection.UrlConnectionHttpClient;
import software.amazon.awssdk.regions.Region;
import software.amazon.awssdk.services.s3.S3Client;
import software.amazon.awssdk.services.s3.S3Configuration;
import software.amazon.awssdk.services.s3.model.NoSuchKeyException;

import io.wagtailmux.store.ObjectStore;
import io.wagtailmux.store.PlatformAddresses;
import io.wagtailmux.store.PlatformException;

/**
 * Client of the platform's object store over the S3 wire protocol. Retries of the SDK are
 * disabled; the caller decides whether to repeat a call. Failed connections are reported
 * as {@link io.wagtailmux.store.PlatformErrorCode#UNAVAILABLE}, all other failures,
 * refused requests included, as
 * {@link io.wagtailmux.store.PlatformErrorCode#UNKNOWN_OUTCOME}.
 *
 * @author the wagtailmux developers
 */
public final class S3ObjectStore implements ObjectStore {

	private final S3Client client;

	private final String bucket;

	private S3ObjectStore(S3Client client, String bucket) {
		this.client = client;
		this.bucket = bucket;
	}

	/**
	 * Creates a client of the object store without calling it.
	 * @param addresses the address of the object store, the bucket's name and the timeout
	 * @return the client
	 */
	public static S3ObjectStore connect(PlatformAddresses addresses) {
		S3Client client = S3Client.builder()
			.endpointOverride(addresses.objects())
			.region(Region.of("platform"))
			.credentialsProvider(StaticCredentialsProvider.create(AwsBasicCredentials.create("instance", "instance")))
			.requestChecksumCalculation(RequestChecksumCalculation.WHEN_REQUIRED)
			.responseChecksumValidation(ResponseChecksumValidation.WHEN_REQUIRED)
			.serviceConfiguration(
					S3Configuration.builder().pathStyleAccessEnabled(true).chunkedEncodingEnabled(false).build())
			.httpClient(UrlConnectionHttpClient.builder()
				.socketTimeout(addresses.timeout())
				.connectionTimeout(addresses.timeout())
				.build())
			.overrideConfiguration((override) -> override.retryStrategy(AwsRetryStrategy.doNotRetry()))
			.build();
		return new S3ObjectStore(client, addresses.bucket());
	}

	@Override
	public void put(String name, byte[] body) {
		try {
			this.client.putObject((request) -> request.bucket(this.bucket).key(name), RequestBody.fromBytes(body));
		}
		catch (SdkException ex) {
			throw new PlatformException(ConnectFailures.codeOf(ex), "put object " + name + ": " + ex.getMessage(), ex);
		}
	}

	@Override
	public Optional<byte[]> get(String name) {
		try {
			return Optional
				.of(this.client.getObjectAsBytes((request) -> request.bucket(this.bucket).key(name)).asByteArray());
		}
		catch (NoSuchKeyException ex) {
			return Optional.empty();
		}
		catch (SdkException ex) {
			throw new PlatformException(ConnectFailures.codeOf(ex), "get object " + name + ": " + ex.getMessage(), ex);
		}
	}

}
