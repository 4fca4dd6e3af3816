package org.yuccagw.core.cache;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Estimates when blocks return, that is, are requested again after a use. Blocks are grouped by workspace, request
 * class and number of uses.
 *
 * <p>The age of a block is the time since its last use. Ages are divided into buckets of doubling width: [0, 1 s), [1
 * s, 2 s), [2 s, 4 s) and so on. For each bucket the forecast counts the blocks that reached it and the blocks that
 * returned in it. The ratio of the two counts is the hazard of a return in the bucket, given that the block wasn't
 * requested before (the Kaplan-Meier estimate, for which blocks that never return need not be observed to the end). The
 * pooled hazard of all groups serves as the prior of a group with few counts.
 *
 * <p>The value of keeping a block of a given age is its Gittins index: the maximum over all horizons of the ratio of
 * the probability that it returns within the horizon to the expected time for which it occupies storage until it
 * returns or the horizon ends. Ranking the blocks of one store by this index makes a block that surely returns within
 * an hour comparable to one that may return within a second.
 *
 * <p>Example: of 100 blocks, 60 return in [1 s, 2 s) and the other 40 never. At an age of 1 s the index is about 0.6
 * returns in 0.65 s. At an age of 2 s no block of the group has returned, and the index falls to that of the other
 * groups.
 */
public final class ReturnForecast {
    private static final int BUCKETS = 22;
    private static final double PRIOR_WEIGHT = 20;
    private static final double PRIOR_HAZARD = 0.02;
    private static final double MAX_HAZARD = 0.999;
    private static final int MAX_DISTINCT_USES = 3;

    private final Map<GroupKey, Group> groups = new HashMap<>();
    private final List<Group> byNumber = new ArrayList<>();
    private final Group pooled = new Group(-1, null);
    private final List<ArrayDeque<Exposure>> exposuresByBucket = new ArrayList<>();

    private ReturnForecast() {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            exposuresByBucket.add(new ArrayDeque<>());
        }
    }

    public static ReturnForecast create() {
        return new ReturnForecast();
    }

    /** Returns the number of a group. All uses from {@code MAX_DISTINCT_USES} on belong to the same group. */
    public int groupNumber(WorkspaceId workspace, String className, int uses) {
        GroupKey key = new GroupKey(workspace, className, Math.min(uses, MAX_DISTINCT_USES));
        return groups.computeIfAbsent(key, this::createGroup).number;
    }

    /** Records that blocks were used and may return from now on. */
    Exposure addExposure(int groupNumber, int blocks, double nowSeconds) {
        Exposure exposure = new Exposure(byNumber.get(groupNumber), blocks, nowSeconds);
        exposure.group.addReached(0, blocks);
        pooled.addReached(0, blocks);
        exposuresByBucket.get(0).addLast(exposure);
        return exposure;
    }

    /** Records the return of a number of the exposed blocks. The others remain exposed. */
    void recordReturn(Exposure exposure, int blocks, double nowSeconds) {
        int bucket = bucketOf(nowSeconds - exposure.startSeconds);
        while (exposure.bucket < bucket) {
            exposure.advance(pooled);
        }
        exposure.group.returned[bucket] += blocks;
        pooled.returned[bucket] += blocks;
        exposure.blocks -= blocks;
    }

    /**
     * Moves exposures into the buckets that their ages have reached. An exposure is moved at most once for each bucket,
     * so the cost is amortized over its lifetime.
     */
    public void advance(double nowSeconds) {
        for (int bucket = 0; bucket + 1 < BUCKETS; bucket++) {
            ArrayDeque<Exposure> queue = exposuresByBucket.get(bucket);
            double endSeconds = bucketEndSeconds(bucket);
            for (Exposure first = queue.peekFirst();
                    first != null && (first.blocks <= 0 || nowSeconds - first.startSeconds >= endSeconds);
                    first = queue.peekFirst()) {
                queue.pollFirst();
                if (first.blocks > 0) {
                    if (first.bucket == bucket) {
                        first.advance(pooled);
                    }
                    if (bucket + 1 < BUCKETS - 1) {
                        exposuresByBucket.get(bucket + 1).addLast(first);
                    }
                }
            }
        }
    }

    /** Returns the Gittins index of a block of the group at the age: expected returns for each second of storage. */
    public double gittinsIndex(int groupNumber, double ageSeconds) {
        Group group = byNumber.get(groupNumber);
        double survival = 1;
        double storageSeconds = 0;
        double best = 0;
        for (int bucket = bucketOf(ageSeconds); bucket < BUCKETS; bucket++) {
            double fromSeconds = Math.max(ageSeconds, bucketStartSeconds(bucket));
            double widthSeconds = bucketEndSeconds(bucket) - fromSeconds;
            double hazardRate = hazardRate(group, bucket);
            double bucketSurvival = Math.exp(-hazardRate * widthSeconds);
            storageSeconds += survival * (hazardRate > 0 ? (1 - bucketSurvival) / hazardRate : widthSeconds);
            survival *= bucketSurvival;
            best = Math.max(best, (1 - survival) / Math.max(storageSeconds, Double.MIN_NORMAL));
        }
        return best;
    }

    /** Returns the probability that a block of the group at the age returns within the horizon. */
    public double returnProbability(int groupNumber, double ageSeconds, double horizonSeconds) {
        Group group = byNumber.get(groupNumber);
        double exponent = 0;
        double endSeconds = ageSeconds + horizonSeconds;
        for (int bucket = bucketOf(ageSeconds); bucket < BUCKETS && bucketStartSeconds(bucket) < endSeconds; bucket++) {
            double fromSeconds = Math.max(ageSeconds, bucketStartSeconds(bucket));
            exponent += hazardRate(group, bucket) * (Math.min(endSeconds, bucketEndSeconds(bucket)) - fromSeconds);
        }
        return 1 - Math.exp(-exponent);
    }

    /** Returns the hazard rate in the bucket, in returns per second, assumed to be constant within the bucket. */
    private double hazardRate(Group group, int bucket) {
        double pooledHazard =
                (pooled.returned[bucket] + PRIOR_WEIGHT * PRIOR_HAZARD) / (pooled.reached[bucket] + PRIOR_WEIGHT);
        double hazard = (group.returned[bucket] + PRIOR_WEIGHT * pooledHazard) / (group.reached[bucket] + PRIOR_WEIGHT);
        return -Math.log(1 - Math.min(hazard, MAX_HAZARD)) / (bucketEndSeconds(bucket) - bucketStartSeconds(bucket));
    }

    private Group createGroup(GroupKey key) {
        Group group = new Group(byNumber.size(), key);
        byNumber.add(group);
        return group;
    }

    private static int bucketOf(double ageSeconds) {
        if (ageSeconds < 1) {
            return 0;
        }
        return Math.min(BUCKETS - 1, Math.getExponent(ageSeconds) + 1);
    }

    private static double bucketStartSeconds(int bucket) {
        return bucket == 0 ? 0 : Math.scalb(1.0, bucket - 1);
    }

    private static double bucketEndSeconds(int bucket) {
        return Math.scalb(1.0, bucket);
    }

    private record GroupKey(WorkspaceId workspace, String className, int uses) {}

    /** Blocks that were used together and haven't returned yet. */
    static final class Exposure {
        private final Group group;
        private final double startSeconds;
        private int blocks;
        private int bucket;

        private Exposure(Group group, int blocks, double startSeconds) {
            this.group = group;
            this.blocks = blocks;
            this.startSeconds = startSeconds;
        }

        private void advance(Group pooled) {
            bucket++;
            group.addReached(bucket, blocks);
            pooled.addReached(bucket, blocks);
        }
    }

    private static final class Group {
        private final int number;
        private final GroupKey key;
        private final double[] reached = new double[BUCKETS];
        private final double[] returned = new double[BUCKETS];

        private Group(int number, GroupKey key) {
            this.number = number;
            this.key = key;
        }

        private void addReached(int bucket, int blocks) {
            reached[bucket] += blocks;
        }

        @Override
        public String toString() {
            return String.valueOf(key);
        }
    }
}
