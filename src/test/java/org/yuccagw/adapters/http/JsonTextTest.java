package org.yuccagw.adapters.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class JsonTextTest {
    private static final ObjectMapper OBJECT_MAPPER = new ObjectMapper();

    @DataProvider
    public Object[][] documents() {
        return new Object[][] {
            {"{}"},
            {"[]"},
            {"{\"a\":1,\"b\":[true,false,null],\"c\":{\"d\":\"text\"}}"},
            {"[0,-1,2147483648,9223372036854775807,9223372036854775808,1.5,-2.5E-3]"},
            {"{\"line\":\"one\\ntwo\",\"quoted\":\"\\\"x\\\"\",\"sign\":\"\\u00e4\\u20ac\"}"},
            {"\"alone\""},
            {"{\"twice\":1,\"twice\":2}"},
        };
    }

    @Test(dataProvider = "documents")
    public void aDocumentIsParsedAsByObjectMapper(String document) throws IOException {
        byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
        assertEquals(JsonText.read(bytes), OBJECT_MAPPER.readTree(bytes));
    }

    @Test(dataProvider = "documents")
    public void aWrittenDocumentParsesToTheSameTree(String document) throws IOException {
        byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
        String written = JsonText.write(JsonText.read(bytes));
        assertEquals(OBJECT_MAPPER.readTree(written), OBJECT_MAPPER.readTree(bytes));
        assertTrue(!written.contains("\n"), "expected one line: " + written);
    }

    @Test
    public void emptyInputIsNotADocument() {
        assertThrows(IOException.class, () -> JsonText.read(new byte[0]));
    }

    @DataProvider
    public Object[][] invalidDocuments() {
        return new Object[][] {{"{"}, {"[1,"}, {"{\"a\"}"}, {"nul"}, {"{\"a\":}"}, {"\"open"}};
    }

    @Test(dataProvider = "invalidDocuments")
    public void anInvalidDocumentIsRejected(String document) {
        assertThrows(IOException.class, () -> JsonText.read(document.getBytes(StandardCharsets.UTF_8)));
    }
}
