package org.yuccagw.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.Test;

/** Guards against committed wire code that wasn't generated from the present definitions. */
public class GeneratedCodeTest {
    private static final Path DEFINITIONS = Path.of("src/main/proto/peer.proto");
    private static final String FILE = DEFINITIONS.toString();
    private static final int PREFIX_LENGTH = "TYPE_".length();

    @Test
    public void theCommittedCodeHoldsTheMessagesOfTheDefinitions() throws IOException {
        assertSame(generated(), ProtoDefinitions.read(FILE, Files.readString(DEFINITIONS)));
    }

    @Test
    public void aChangedFieldIsReportedWithFileAndMessage() throws IOException {
        String changed = Files.readString(DEFINITIONS).replace("int64 incarnation = 2;", "int64 incarnation = 200;");

        AssertionError error =
                expectThrows(AssertionError.class, () -> assertSame(generated(), ProtoDefinitions.read(FILE, changed)));

        assertEquals(
                error.getMessage().lines().findFirst().orElse("").split(" expected")[0],
                FILE + ": message Envelope differs from the committed code, run bin/regenerate-wire:");
    }

    @Test
    public void aFileThatDoesNotParseIsReportedWithItsLine() {
        IllegalArgumentException error = expectThrows(
                IllegalArgumentException.class,
                () -> ProtoDefinitions.read("a.proto", "message Contact {\n  string id = one;\n}"));

        assertEquals(error.getMessage(), "a.proto: line 2: unexpected 'one'");
        assertThrows(
                IllegalArgumentException.class,
                () -> ProtoDefinitions.read("a.proto", "message Contact { string id = 1;"));
    }

    private static void assertSame(
            Map<String, Set<ProtoDefinitions.Field>> generated, Map<String, Set<ProtoDefinitions.Field>> defined) {
        assertEquals(generated.keySet(), defined.keySet(), FILE + ": messages, run bin/regenerate-wire:");
        defined.forEach((message, fields) -> assertEquals(
                generated.get(message),
                fields,
                FILE + ": message " + message + " differs from the committed code, run bin/regenerate-wire:"));
    }

    private static Map<String, Set<ProtoDefinitions.Field>> generated() {
        FileDescriptorProto file = PeerProtocol.getDescriptor().toProto();
        Map<String, Set<ProtoDefinitions.Field>> messages = new LinkedHashMap<>();
        for (DescriptorProto message : file.getMessageTypeList()) {
            Set<ProtoDefinitions.Field> fields = new TreeSet<>();
            for (FieldDescriptorProto field : message.getFieldList()) {
                fields.add(new ProtoDefinitions.Field(
                        field.getNumber(),
                        field.getName(),
                        typeName(field),
                        field.getLabel() == FieldDescriptorProto.Label.LABEL_REPEATED,
                        field.hasOneofIndex()
                                ? message.getOneofDecl(field.getOneofIndex()).getName()
                                : ""));
            }
            messages.put(message.getName(), fields);
        }
        return messages;
    }

    private static String typeName(FieldDescriptorProto field) {
        return field.getTypeName().isEmpty()
                ? field.getType().name().substring(PREFIX_LENGTH).toLowerCase(Locale.ROOT)
                : field.getTypeName().substring(1);
    }
}
