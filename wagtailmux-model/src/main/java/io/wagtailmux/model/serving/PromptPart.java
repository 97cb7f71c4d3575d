package io.wagtailmux.model.serving;

/**
 * Part of a prompt, which several requests may have in common.
 *
 * @param id identifies the content of the part
 * @param tokens the length of the part, in tokens
 * @author the wagtailmux developers
 */
public record PromptPart(String id, int tokens) {

}
