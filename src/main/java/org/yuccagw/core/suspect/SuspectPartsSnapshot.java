package org.yuccagw.core.suspect;

import com.google.common.collect.ImmutableList;

/**
 * What one entry knows of parts that may make endpoints crash, as shown to operators.
 *
 * @param suspected number of parts with which endpoints crashed and that haven't been answered since
 * @param refused the parts whose prompts are refused
 */
public record SuspectPartsSnapshot(int suspected, ImmutableList<SuspectMessage.Refused> refused) {}
