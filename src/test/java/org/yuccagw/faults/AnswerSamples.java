package org.yuccagw.faults;

import java.util.List;
import java.util.stream.Stream;

/** Answers of an endpoint, byte for byte: those that a reader must refuse, and rare ones that are sound. */
public final class AnswerSamples {
    /** Stands in a sample for the header lines by which an endpoint marks its own answer. */
    public static final String MARKS = "<marks>";

    private static final String START = "HTTP/1.1 200 OK\r\n" + MARKS;
    /** The body of the sound answers that have one: an event, so that it is also that of a whole stream. */
    private static final String BODY = "a:\n\n";

    private static final String BODY_AFTER_HEAD = "\r\n" + BODY;
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String CHUNKED = START + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private AnswerSamples() {}

    /**
     * An answer to a POST request. The connection ends in order after it.
     *
     * @param body the body of a sound answer
     */
    public record Sample(String name, String text, int status, String body) {
        @Override
        public String toString() {
            return name;
        }
    }

    /** Returns answers that aren't valid. */
    public static List<Sample> broken() {
        return Stream.of(brokenStatuses(), brokenLengths(), brokenFields(), brokenCodings(), brokenChunks())
                .flatMap(List::stream)
                .toList();
    }

    private static List<Sample> brokenStatuses() {
        return List.of(
                broken("status 000", "HTTP/1.1 000 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("status 099", "HTTP/1.1 099 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("status 600", "HTTP/1.1 600 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("status of two digits", "HTTP/1.1 20 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("status of four digits", "HTTP/1.1 2000 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("status with a letter", "HTTP/1.1 2x0 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("status with a sign", "HTTP/1.1 +200 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("two blanks before the status", "HTTP/1.1  200 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("no status", "HTTP/1.1 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("tab after the status", "HTTP/1.1 200\tOK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("other protocol", "HTTP/2.0 200 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("protocol in lower case", "http/1.1 200 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("spoilt protocol", "HTXP/1.1 200 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("control byte in the reason", "HTTP/1.1 200 O\u0001K\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                broken("switch of protocols", "HTTP/1.1 101 Switching\r\n" + MARKS + "\r\n"),
                broken("answer that is text", "text"));
    }

    private static List<Sample> brokenLengths() {
        return List.of(
                length("letter in the length", "4x"),
                length("letter before the length", "x4"),
                length("empty length", ""),
                length("negative length", "-4"),
                length("signed length", "+4"),
                length("hexadecimal length", "0x4"),
                length("fraction as length", "4.0"),
                length("two numbers as length", "4 4"),
                length("list of lengths", "4, 5"),
                length("length beyond a long", "99999999999999999999"),
                length("control byte in the length", "4\u0000"),
                length("letter with a diacritic in the length", "4\u00e9"));
    }

    private static List<Sample> brokenFields() {
        return List.of(
                field("two lengths", "Content-Length: 4\r\nContent-Length: 3"),
                field("blank before the colon", "Content-Length : 4"),
                field("tab before the colon", "Content-Length\t: 4"),
                field("blank in a name", "Content Length: 4"),
                field("blank in another name", "Content-Length: 4\r\nX Own: 1"),
                field("blank before a name", "Content-Length: 4\r\n X-Own: 1"),
                field("control byte in a name", "Content-\u0001Length: 4"),
                field("zero byte in a name", "Content-Length: 4\r\nX-O\u0000wn: 1"),
                field("delete byte in a name", "Content-Length: 4\r\nX-O\u007fwn: 1"),
                field("diacritic in a name", "Content-Length: 4\r\nX-\u00e9: 1"),
                field("separator in a name", "Content-Length: 4\r\nX(Own): 1"),
                field("empty name", "Content-Length: 4\r\n: 1"),
                field("line that is no field", "Content-Length: 4\r\nno field at all"),
                field("length without a colon", "Content-Length 4"),
                field("length after a semicolon", "Content-Length; 4"),
                field("folded length", "Content-Length:\r\n 4"),
                field("zero byte in a value", "Content-Length: 4\r\nX-Own: a\u0000b"),
                field("control byte in a value", "Content-Length: 4\r\nX-Own: a\u0001b"),
                field("delete byte in a value", "Content-Length: 4\r\nX-Own: a\u007fb"),
                field("carriage return in a value", "Content-Length: 4\r\nX-Own: a\rb"));
    }

    private static List<Sample> brokenCodings() {
        return List.of(
                coding("unknown coding", "chunke"),
                coding("coding that isn't read", "gzip"),
                coding("coding before the chunks", "gzip, chunked"),
                coding("coding after the chunks", "chunked, gzip"),
                coding("coding without change", "identity"),
                coding("chunks within chunks", "chunked, chunked"),
                coding("no coding", ""),
                coding("vertical tab before the coding", "\u000bchunked"),
                coding("two codings", "chunked\r\nTransfer-Encoding: gzip"),
                coding("chunks and length", "chunked\r\nContent-Length: 4"),
                broken(
                        "chunks of the older protocol",
                        "HTTP/1.0 200 OK\r\n" + MARKS + "Transfer-Encoding: chunked\r\n\r\n4\r\na:\n\n" + LAST_CHUNK));
    }

    private static List<Sample> brokenChunks() {
        return List.of(
                chunks("letter as size", "g\r\na:\n\n" + LAST_CHUNK),
                chunks("negative size", "-4\r\na:\n\n" + LAST_CHUNK),
                chunks("signed size", "+4\r\na:\n\n" + LAST_CHUNK),
                chunks("size with a prefix", "0x4\r\na:\n\n" + LAST_CHUNK),
                chunks("no size", "\r\na:\n\n" + LAST_CHUNK),
                chunks("blank before the size", " 4\r\na:\n\n" + LAST_CHUNK),
                chunks("size beyond a long", "10000000000000004\r\na:\n\n" + LAST_CHUNK),
                chunks("chunk that is too long", "4\r\na:\n\nx" + LAST_CHUNK),
                chunks("chunk that is too short", "5\r\na:\n\n" + LAST_CHUNK),
                chunks("control byte in an extension", "4;a\u0001b\r\na:\n\n" + LAST_CHUNK),
                chunks("trailer that is no field", "4\r\na:\n\n\r\n0\r\nno field\r\n\r\n"),
                chunks("blank in the name of a trailer", "4\r\na:\n\n\r\n0\r\nX Own: 1\r\n\r\n"),
                chunks("no empty line after the last chunk", "4\r\na:\n\n\r\n0\r\n"),
                broken("chunks without content", "HTTP/1.1 204 OK\r\n" + MARKS + "Transfer-Encoding: chunked\r\n\r\n"),
                broken("length of no content", "HTTP/1.1 204 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD));
    }

    /** Returns answers that are valid, though some are rare. */
    public static List<Sample> sound() {
        return List.of(
                sound("length", START + LENGTH + BODY_AFTER_HEAD),
                sound("no reason", "HTTP/1.1 200 \r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                sound(
                        "reason with diacritics and a tab",
                        "HTTP/1.1 200 \u00e9\tOK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                sound("older protocol", "HTTP/1.0 200 OK\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD),
                sound("older protocol without a length", "HTTP/1.0 200 OK\r\n" + MARKS + BODY_AFTER_HEAD),
                sound("no length", START + BODY_AFTER_HEAD),
                sound("no length and close", START + "Connection: close\r\n" + BODY_AFTER_HEAD),
                sound("names in lower case", START + "content-length: 4\r\n" + BODY_AFTER_HEAD),
                sound("blanks around a value", START + "Content-Length:\t 4 \t\r\n" + BODY_AFTER_HEAD),
                sound("no blank before a value", START + "Content-Length:4\r\n" + BODY_AFTER_HEAD),
                sound("zeros before the length", START + "Content-Length: 004\r\n" + BODY_AFTER_HEAD),
                sound("empty value", START + LENGTH + "X-Own:\r\n" + BODY_AFTER_HEAD),
                sound("tab and diacritic in a value", START + LENGTH + "X-Own: a\tb\u00e9\r\n" + BODY_AFTER_HEAD),
                sound("rare bytes in a name", START + LENGTH + "!#$%&'*+-.^_`|~: 1\r\n" + BODY_AFTER_HEAD),
                sound("repeated field", START + LENGTH + "X-Own: 1\r\nX-Own: 2\r\n" + BODY_AFTER_HEAD),
                sound("long field", START + LENGTH + "X-Own: " + "x".repeat(8_000) + "\r\n" + BODY_AFTER_HEAD),
                sound("chunks", CHUNKED + "2\r\na:\r\n2\r\n\n\n" + LAST_CHUNK),
                sound("coding in capitals", START + "Transfer-Encoding: CHUNKED\r\n\r\n4\r\na:\n\n" + LAST_CHUNK),
                sound("extension", CHUNKED + "4;name=value;other=\"a b\"\r\na:\n\n" + LAST_CHUNK),
                sound("blank before an extension", CHUNKED + "4 ; name\r\na:\n\n" + LAST_CHUNK),
                sound("zeros before a size", CHUNKED + "0004\r\na:\n\n\r\n000\r\n\r\n"),
                sound("trailers", CHUNKED + "4\r\na:\n\n\r\n0\r\nX-Own: 1\r\nX-Other:\r\n\r\n"),
                sound("extension of the last chunk", CHUNKED + "4\r\na:\n\n\r\n0;a=b\r\n\r\n"),
                sound("interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + START + LENGTH + BODY_AFTER_HEAD),
                sound(
                        "interim answers with fields",
                        "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 \r\n\r\n" + START + LENGTH
                                + BODY_AFTER_HEAD),
                sound("bytes after the answer", START + LENGTH + BODY_AFTER_HEAD + "more"),
                new Sample("no content", "HTTP/1.1 204 None\r\n" + MARKS + "\r\n", 204, ""),
                new Sample("not modified", "HTTP/1.1 304 Old\r\n" + MARKS + LENGTH + "\r\n", 304, ""),
                new Sample(
                        "status without a name", "HTTP/1.1 299 Own\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD, 299, BODY),
                new Sample(
                        "status of a client's error",
                        "HTTP/1.1 422 No\r\n" + MARKS + LENGTH + BODY_AFTER_HEAD,
                        422,
                        BODY));
    }

    private static Sample broken(String name, String text) {
        return new Sample(name, text, 0, "");
    }

    private static Sample length(String name, String value) {
        return field(name, "Content-Length: " + value);
    }

    private static Sample field(String name, String lines) {
        return broken(name, START + lines + "\r\n" + BODY_AFTER_HEAD);
    }

    private static Sample coding(String name, String value) {
        return broken(name, START + "Transfer-Encoding: " + value + "\r\n\r\n4\r\na:\n\n" + LAST_CHUNK);
    }

    private static Sample chunks(String name, String chunks) {
        return broken(name, CHUNKED + chunks);
    }

    private static Sample sound(String name, String text) {
        return new Sample(name, text, 200, BODY);
    }
}
