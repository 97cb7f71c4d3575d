package io.wagtailmux.cli;

import java.util.List;

/**
 * Edit of the configuration that takes an endpoint or an availability zone out of
 * service, or returns it to service.
 *
 * @author the wagtailmux developers
 */
final class ServiceStateEdit {

	private static final String RETURN = "return";

	private final String section;

	private final String key;

	private final boolean outOfService;

	/**
	 * Creates an edit from the arguments of a command.
	 * @param kind the first word of the section's name
	 * @param key the key that is true while the object is out of service
	 * @param outAction the action that takes the object out of service; {@code return} is
	 * the opposite
	 * @param arguments the action and the object's name
	 * @throws CommandException if the arguments are anything else
	 */
	ServiceStateEdit(String kind, String key, String outAction, List<String> arguments) {
		if (arguments.size() != 2) {
			throw new CommandException(ExitCode.USAGE, "expected '" + outAction + "' or '" + RETURN + "', and a name");
		}
		String action = arguments.get(0);
		if (!action.equals(outAction) && !action.equals(RETURN)) {
			throw new CommandException(ExitCode.USAGE,
					"'" + action + "' is neither '" + outAction + "' nor '" + RETURN + "'");
		}
		this.section = kind + " " + arguments.get(1);
		this.key = key;
		this.outOfService = action.equals(outAction);
	}

	/**
	 * Applies the edit.
	 * @param text the current INI text
	 * @return the changed text
	 * @throws CommandException if the text has no section for the object
	 */
	String apply(String text) {
		return IniEdit.set(text, this.section, this.key, Boolean.toString(this.outOfService));
	}

}
