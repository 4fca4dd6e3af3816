package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;

/**
 * A caller says that a prompt will soon be asked for, such as when a notebook is opened.
 *
 * @param blocks keys of the prompt's whole blocks, as for a request
 * @param reply told how many blocks are being brought to an engine
 */
public record PrefetchRequested(PromptScope scope, ImmutableList<BlockKey> blocks, Consumer<Integer> reply)
        implements ControlEvent {}
