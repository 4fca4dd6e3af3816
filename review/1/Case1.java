import java.util.List;

/** Another writer writes an entry below servers/ that can't be read. */
final class Case1 {
    private static final int RECOVER_MILLIS = 12_000;
    private static final int DOWN_MILLIS = 1_500;

    private Case1() {}

    public static void main(String[] arguments) throws Exception {
        Bed.main(arguments[0], Case1::play);
    }

    private static int play(Bed bed) throws Exception {
        bed.put(
                "op/config",
                Bed.config(
                        3,
                        List.of(Bed.route("preview", "/preview/", "idempotent", "vihik-app", 800, 2, "")),
                        List.of(Bed.plainService("vihik-app")),
                        ""));
        bed.register(bed.new Endpoint("i-1", "vihik-app", "ulemiste"), "ready");
        bed.register(bed.new Endpoint("i-2", "vihik-app", "mustamae"), "ready");
        bed.startEntries(3);
        Traffic traffic = Traffic.start(bed, 20, "GET", "/preview/", 1500);
        Bed.sleep(8_000);
        long written = bed.millis();
        if (Bed.TROUBLE) {
            bed.put("servers/i-other", "[".repeat(2_000));
        }
        Bed.sleep(4_000);
        for (Bed.Entry entry : bed.entries) {
            bed.log(entry.name + ": readyz " + entry.readyStatus() + ", process alive " + entry.process.isAlive());
        }
        long fault = bed.millis();
        bed.log("final fault: all processes are killed");
        for (Bed.Entry entry : bed.entries) {
            entry.kill();
        }
        Bed.sleep(DOWN_MILLIS);
        for (Bed.Entry entry : bed.entries) {
            entry.start();
        }
        long back = bed.millis();
        Bed.sleep(RECOVER_MILLIS + 5_000);
        long end = bed.millis();
        traffic.stop();
        List<Traffic.Call> before = traffic.sentBetween(0, fault - 1_500);
        List<Traffic.Call> afterwards = traffic.sentBetween(back + RECOVER_MILLIS, end);
        bed.log("before the write: " + Traffic.summary(traffic.sentBetween(0, written)));
        bed.log("from 1 s after the write to the fault: "
                + Traffic.summary(traffic.sentBetween(written + 1_000, fault - 1_500)));
        bed.log("before the fault: " + Traffic.summary(before));
        bed.log("later than recoverS after the machines are back: " + Traffic.summary(afterwards));
        if (Traffic.served(before) * 4 < before.size() || afterwards.size() < 50) {
            return Bed.NOT_RUN;
        }
        return Traffic.served(afterwards) * 4 < afterwards.size() ? Bed.BROKEN : Bed.HELD;
    }
}
