package io.wagtailmux.daemon.operator;

/**
 * Status of an instance as reported to operators.
 *
 * @param instance the id of the instance
 * @param zone the availability zone of the instance
 * @param configurationVersion the version of the configuration in force at the instance;
 * zero if there is none yet
 * @author the wagtailmux developers
 */
public record InstanceStatus(String instance, String zone, long configurationVersion) {

}
