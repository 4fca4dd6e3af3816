/**
 * The caller's library: keeps the directory, goes to another entry when one is lost, makes idempotency keys, resumes
 * a stream where it broke.
 *
 * <pre>{@code
 * YuccagwClient client = YuccagwClient.start(ClientSettings.of(List.of(NetworkAddress.parse("10.0.0.7:8080")), "KEY"));
 * CompletionAnswer answer = client.complete(CompletionRequest.of("assistant", "Explain cell 7:\n..."), System.out::print);
 * client.stop();
 * }</pre>
 */
package org.yuccagw.client;
