/**
 * Execution of the stages that precede a request. Stages run as pieces; the instance that
 * owns a stage pool batches the pieces of all instances into calls to its endpoints.
 */
package io.wagtailmux.engine.stage;
