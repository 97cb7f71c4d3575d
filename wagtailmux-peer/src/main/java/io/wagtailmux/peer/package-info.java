/**
 * Communication between instances over Thrift. It transfers soft state only: the system
 * tolerates the loss of any message.
 */
package io.wagtailmux.peer;
