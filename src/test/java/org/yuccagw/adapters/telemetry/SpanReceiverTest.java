package org.yuccagw.adapters.telemetry;

import static org.testng.Assert.assertTrue;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.yuccagw.adapters.settings.EntrySettingsReader;

public class SpanReceiverTest {
    @Test
    public void spansAreExportedToAnOtlpReceiver() throws Exception {
        LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
        Undertow receiver = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange -> exchange.getRequestReceiver()
                        .receiveFullBytes((exchangeWithBody, bytes) -> received.add(exchangeWithBody.getRequestPath()
                                + " " + new String(bytes, StandardCharsets.ISO_8859_1))))
                .build();
        receiver.start();
        try {
            int port = ((InetSocketAddress) receiver.getListenerInfo().get(0).getAddress()).getPort();
            String settings = Files.readString(Path.of("config/samples/entry.json"))
                    .replaceFirst("\"traces\": *\"[^\"]*\"", "\"traces\": \"http://127.0.0.1:" + port + "/v1/traces\"");
            assertTrue(settings.contains(":" + port + "/v1/traces"), settings);
            Traces traces = Traces.start(EntrySettingsReader.parse(settings.getBytes(StandardCharsets.UTF_8)));
            traces.tracer().spanBuilder("admission").startSpan().end();
            traces.stop();
            String batch = received.poll(30, TimeUnit.SECONDS);
            assertTrue(batch != null && batch.startsWith("/v1/traces "), String.valueOf(batch));
            assertTrue(batch.contains("admission"), batch);
        } finally {
            receiver.stop();
        }
    }
}
