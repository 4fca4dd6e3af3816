package org.yuccagw.core.fleet;

/**
 * A version of the weights of one model.
 *
 * @param version at least 1; newer weights have a higher version
 */
public record ModelWeights(String model, long version) {}
