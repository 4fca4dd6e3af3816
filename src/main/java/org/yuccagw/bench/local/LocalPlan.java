package org.yuccagw.bench.local;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.yuccagw.adapters.settings.EntrySettings.TlsFiles;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.standins.engine.EngineCosts;

/**
 * What a local deployment consists of.
 *
 * @param entries entry daemons
 * @param engines replicas of the pool {@code assistant}
 * @param domains failure domains, over which everything is spread in turn
 * @param costs cost model of the engines
 * @param loadLag how late engines report their load
 * @param catalogue applied before the deployment counts as started
 * @param traces where spans go: {@code log} or {@code off}
 * @param pathsOfFirstEntry where the first entry connects for the address of an endpoint
 * @param tls certificates of all three addresses of each entry, empty for plain text
 */
public record LocalPlan(
        int entries,
        int engines,
        List<String> domains,
        EngineCosts costs,
        Duration loadLag,
        Catalogue catalogue,
        String traces,
        UnaryOperator<NetworkAddress> pathsOfFirstEntry,
        Optional<TlsFiles> tls) {
    private static final int USUAL_ENTRIES = 3;
    private static final int USUAL_ENGINES = 4;

    public LocalPlan {
        domains = List.copyOf(domains);
    }

    /** Three entries, four engines, two stores, one plain service, in three failure domains. */
    public static LocalPlan usual() {
        return new LocalPlan(
                USUAL_ENTRIES,
                USUAL_ENGINES,
                List.of("domain-1", "domain-2", "domain-3"),
                EngineCosts.defaults().withBlockTokens(LocalCatalogue.BLOCK_TOKENS),
                Duration.ofMillis(200),
                LocalCatalogue.usual(),
                "off",
                UnaryOperator.identity(),
                Optional.empty());
    }

    public LocalPlan withEntries(int count) {
        return new LocalPlan(count, engines, domains, costs, loadLag, catalogue, traces, pathsOfFirstEntry, tls);
    }

    public LocalPlan withEngines(int count, EngineCosts newCosts) {
        return new LocalPlan(entries, count, domains, newCosts, loadLag, catalogue, traces, pathsOfFirstEntry, tls);
    }

    public LocalPlan withCatalogue(Catalogue newCatalogue) {
        return new LocalPlan(entries, engines, domains, costs, loadLag, newCatalogue, traces, pathsOfFirstEntry, tls);
    }

    public LocalPlan withTls(TlsFiles files) {
        return new LocalPlan(
                entries, engines, domains, costs, loadLag, catalogue, traces, pathsOfFirstEntry, Optional.of(files));
    }

    public LocalPlan withPathsOfFirstEntry(UnaryOperator<NetworkAddress> paths) {
        return new LocalPlan(entries, engines, domains, costs, loadLag, catalogue, traces, paths, tls);
    }
}
