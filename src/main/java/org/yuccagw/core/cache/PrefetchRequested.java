package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;

/**
 * A hint of a caller that it will soon request a prompt, for example because a notebook was opened.
 *
 * @param blocks keys of the whole blocks of the prompt, computed as for a request
 * @param reply receives the number of blocks whose import into an engine was started
 */
public record PrefetchRequested(PromptScope scope, ImmutableList<BlockKey> blocks, Consumer<Integer> reply)
        implements ControlEvent {}
