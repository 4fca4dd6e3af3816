package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Computes the keys of cache blocks as a keyed hash chain over the text of a prompt.
 *
 * <p>The bytes of a prompt are split into blocks of a fixed size; a partial last block has no key. The key of block
 * <i>n</i> is {@code hash(key of block n-1, bytes of block n)}, and the chain starts with the hash of the salt. Two
 * prompts share the keys of exactly those whole blocks that belong to their common prefix.
 *
 * <p>The salt is derived from the secret of the workspace, the service, the weight version and the adapter. Prompts of
 * different workspaces or weight versions therefore have no key in common, and a request can't address a block of
 * another workspace or version.
 *
 * <p>Example with blocks of 4 bytes: {@code "abcdefghij"} has two keys, for {@code abcd} and {@code efgh}. The prompt
 * {@code "abcdeXghij"} shares the first key but not the second.
 */
public final class BlockChain {
    /** Bytes of prompt text that are counted as one token where no tokenizer is available. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final HashFunction HASH = Hashing.sha256();

    private BlockChain() {}

    /** Returns the cache salt that is sent to the engine with each request, in lower-case hexadecimal. */
    public static String salt(String workspaceSecret, String service, String version, String adapter) {
        return Hashing.hmacSha256(workspaceSecret.getBytes(StandardCharsets.UTF_8))
                .newHasher()
                .putString(service, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(version, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(adapter, StandardCharsets.UTF_8)
                .hash()
                .toString();
    }

    /**
     * Returns the keys of the whole blocks of a prompt, in order.
     *
     * @param salt the result of {@link #salt}
     * @param prompt text of the prompt in UTF-8
     * @param blockTokens size of a block, in tokens of {@link #BYTES_PER_TOKEN} bytes
     */
    public static ImmutableList<BlockKey> keys(String salt, byte[] prompt, int blockTokens) {
        int blockBytes = blockTokens * BYTES_PER_TOKEN;
        ImmutableList.Builder<BlockKey> keys = ImmutableList.builder();
        HashCode previous = HASH.hashString(salt, StandardCharsets.UTF_8);
        for (int start = 0; start + blockBytes <= prompt.length; start += blockBytes) {
            previous = HASH.newHasher()
                    .putBytes(previous.asBytes())
                    .putBytes(prompt, start, blockBytes)
                    .hash();
            keys.add(BlockKey.of(previous));
        }
        return keys.build();
    }
}
