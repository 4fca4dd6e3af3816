package org.yuccagw.process;

import java.util.ArrayList;
import java.util.List;
import org.yuccagw.standins.http.StandInJson;

/**
 * A fault of a deployment that can be started and ended.
 *
 * @param name the name in the message of a failing test
 */
record Fault(String name, Step begin, Step end) {
    private static final int FAULT_COUNT = 5;
    private static final long LATE_WRITE_MILLIS = 1_500;
    private static final long SLOW_ANSWER_MILLIS = 300;

    /** A step that may fail with an exception. */
    interface Step {
        void run() throws Exception;
    }

    private static final Step NOTHING = () -> {};

    /** Returns every kind of fault once, each at a different process. */
    static List<Fault> all(Deployment deployment) {
        List<Fault> faults = new ArrayList<>();
        faults.addAll(ofEntries(deployment));
        faults.addAll(ofKeyValueService(deployment.keyValue()));
        faults.addAll(ofEndpoints(deployment));
        return faults;
    }

    private static List<Fault> ofEntries(Deployment deployment) {
        EntryProcess killed = deployment.entry(3);
        EntryProcess suspended = deployment.entry(4);
        EntryProcess disconnected = deployment.entry(5);
        return List.of(
                new Fault(killed.name() + " is killed", () -> killed.process().kill(), () -> {
                    killed.start();
                    killed.awaitReady();
                    deployment.awaitEndpoints(killed);
                }),
                new Fault(
                        suspended.name() + " is suspended",
                        () -> suspended.process().suspend(),
                        () -> {
                            suspended.process().resume();
                            suspended.awaitReady();
                        }),
                new Fault(
                        "callers of " + disconnected.name() + " are cut off",
                        () -> {
                            disconnected.callerProxy().refuseNew();
                            disconnected.callerProxy().cut();
                        },
                        () -> disconnected.callerProxy().heal()));
    }

    private static List<Fault> ofKeyValueService(StandInProcess service) {
        return List.of(
                knobFault("the key-value service is down", service, "down", 1, 0),
                knobFault("the key-value service is slow", service, "delay_ms", SLOW_ANSWER_MILLIS, 0),
                writeFault("answers of key-value writes are lost", service, "drop_answers"),
                writeFault("key-value writes land late", service, "delays"));
    }

    private static Fault knobFault(String name, StandInProcess service, String field, long begin, long end) {
        return new Fault(
                name,
                () -> service.setKnobs(StandInJson.object().put(field, begin)),
                () -> service.setKnobs(StandInJson.object().put(field, end)));
    }

    private static Fault writeFault(String name, StandInProcess service, String field) {
        return new Fault(
                name,
                () -> service.setKnobs(StandInJson.object()
                        .set(
                                "writes",
                                StandInJson.object().put(field, FAULT_COUNT).put("delay_ms", LATE_WRITE_MILLIS))),
                () -> service.setKnobs(StandInJson.object().set("writes", StandInJson.object())));
    }

    private static List<Fault> ofEndpoints(Deployment deployment) {
        StandInProcess silent = deployment.assistants().get(0);
        StandInProcess crashing = deployment.assistants().get(1);
        StandInProcess disconnected = deployment.judges().get(0);
        StandInProcess letters = deployment.letters();
        StandInProcess store = deployment.stores().get(0);
        return List.of(
                new Fault(
                        "open connections to " + silent.name() + " become silent",
                        () -> silent.proxy().silenceOpen(),
                        NOTHING),
                new Fault(crashing.name() + " crashes", crashing::crash, () -> {
                    crashing.restart();
                    deployment.listVms();
                    deployment.entries().forEach(deployment::awaitEndpoints);
                }),
                new Fault(
                        "connections to " + disconnected.name() + " are cut",
                        () -> disconnected.proxy().cut(),
                        NOTHING),
                new Fault(
                        "answers of letters are lost",
                        () -> letters.proxy().dropAnswers(FAULT_COUNT),
                        () -> letters.proxy().heal()),
                new Fault(
                        "letters refuses connections",
                        () -> letters.proxy().refuseNew(),
                        () -> letters.proxy().heal()),
                knobFault(store.name() + " is down", store, "down", 1, 0));
    }
}
