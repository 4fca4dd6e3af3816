package org.yuccagw.adapters.cache;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.testng.annotations.Test;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.StoredBlock;

public class ExportedBlocksTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final BlockKey FIRST = BlockKey.of(9, 1);
    private static final BlockKey SECOND = BlockKey.of(1, 2);
    private static final BlockKey THIRD = BlockKey.of(5, 3);

    // Guards against prompts that are exported again and again until the exports saturate the link although few prompts
    // arrive. The engine exports several blocks concurrently and lists them in order of completion, here the second one
    // first. In that order the copy seems to lack its beginning.
    @Test
    public void blocksThatAreExportedOutOfOrderAreReturnedInTheOrderOfThePrompt() {
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode exported = answer.putArray("exported");
        for (BlockKey key : List.of(SECOND, THIRD, FIRST)) {
            exported.addObject()
                    .put("key", key.toString())
                    .put("generation", 1)
                    .put("length", 64)
                    .put("checksum", 7);
        }
        List<StoredBlock> blocks = CacheJson.exported(answer, List.of(FIRST, SECOND, THIRD));
        assertEquals(blocks.stream().map(StoredBlock::key).toList(), List.of(FIRST, SECOND, THIRD));
    }
}
