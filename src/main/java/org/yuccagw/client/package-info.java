/**
 * The client library for callers. It caches the directory of entries, fails over to another entry when a connection is
 * lost, creates idempotency keys, and resumes an interrupted stream at its last received event.
 *
 * <pre>{@code
 * YuccagwClient client = YuccagwClient.start(ClientSettings.of(List.of(NetworkAddress.parse("10.0.0.7:8080")), "KEY"));
 * CompletionRequest request = CompletionRequest.of("assistant", "Explain cell 7:\n...");
 * CompletionResult result = client.complete(request, System.out::print);
 * client.stop();
 * }</pre>
 */
package org.yuccagw.client;
