package io.wagtailmux.testbed.deployment;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.wagtailmux.model.EndpointId;
import io.wagtailmux.testbed.standin.StandInException;

/**
 * The example configurations that are shipped as class path resources. The bearer token
 * of each organisation is {@code token-} and its id.
 *
 * @author the wagtailmux developers
 */
public enum ExampleConfiguration {

	/** The configuration of Pemberton Talking Rounds. */
	PEMBERTON("pemberton.ini"),

	/** The configuration of Pumbavahti. */
	PUMBAVAHTI("pumbavahti.ini");

	private static final Pattern ENDPOINT_ADDRESS = Pattern
		.compile("\\[endpoint ([^\\]]+)\\]([^\\[]*?)address = (\\S+)");

	private final String file;

	ExampleConfiguration(String file) {
		this.file = file;
	}

	/**
	 * Reads the configuration.
	 * @return the INI text
	 * @throws StandInException if the resource cannot be read
	 */
	public String text() {
		try (InputStream in = ExampleConfiguration.class.getResourceAsStream("/examples/" + this.file)) {
			return new String(in.readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new StandInException("cannot read the example configuration " + this.file, ex);
		}
	}

	/**
	 * Replaces the addresses of endpoints in a configuration.
	 * @param text the INI text of the configuration
	 * @param addresses the new addresses; an endpoint that is not a key keeps its address
	 * @return the INI text with the new addresses
	 */
	public static String withAddresses(String text, Map<EndpointId, URI> addresses) {
		Matcher matcher = ENDPOINT_ADDRESS.matcher(text);
		return matcher.replaceAll((match) -> {
			URI address = addresses.get(new EndpointId(match.group(1)));
			String chosen = (address != null) ? address.toString() : match.group(3);
			return Matcher
				.quoteReplacement("[endpoint " + match.group(1) + "]" + match.group(2) + "address = " + chosen);
		});
	}

}
