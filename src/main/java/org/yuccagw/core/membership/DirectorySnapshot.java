package org.yuccagw.core.membership;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * The entries that currently serve callers, as published to them.
 *
 * @param entries all known entries that aren't dead, ordered by id
 * @param ready whether this entry may take new work: it has a catalogue and confirmed it within the freshness limit
 * @param reason why this entry isn't ready; empty if it is
 * @param timeToLive how long callers may cache the directory
 */
public record DirectorySnapshot(
        ImmutableList<EntryStatus> entries, boolean ready, String reason, Duration timeToLive) {}
