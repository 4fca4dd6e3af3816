package org.yuccagw.core.claim;

import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.WorkspaceId;

/**
 * The right to run one request with an idempotency key.
 *
 * @param bodyHash lower-case hexadecimal SHA-256 over service, method, path and body
 * @param request identifier of the caller's attempt that requests the claim
 * @param entry the entry that will run the request
 */
public record Claim(WorkspaceId workspace, IdempotencyKey key, String bodyHash, RequestId request, EntryId entry) {}
