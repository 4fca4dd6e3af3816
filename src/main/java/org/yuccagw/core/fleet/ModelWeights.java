package org.yuccagw.core.fleet;

/**
 * A version of the weights of one model.
 *
 * @param version from 1, higher for newer weights
 */
public record ModelWeights(String model, long version) {}
