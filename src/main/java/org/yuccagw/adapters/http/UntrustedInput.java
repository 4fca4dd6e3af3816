package org.yuccagw.adapters.http;

import java.io.IOException;

/**
 * Reads what another process wrote. Whatever such bytes provoke in their reader is an {@link IOException} for the
 * caller, which thus handles each of them like any document that can't be read.
 */
public final class UntrustedInput {
    private UntrustedInput() {}

    /** Reads one document or value. */
    @FunctionalInterface
    public interface Reader<T> {
        T read() throws IOException;
    }

    /**
     * Returns what the reader returns.
     *
     * @throws IOException if the reader throws any exception, or overflows the stack
     */
    public static <T> T read(Reader<T> reader) throws IOException {
        try {
            return reader.read();
        } catch (RuntimeException e) {
            throw new IOException(e.getMessage() == null ? e.toString() : e.getMessage(), e);
        } catch (StackOverflowError e) {
            throw new IOException("nests too deeply", e);
        }
    }
}
