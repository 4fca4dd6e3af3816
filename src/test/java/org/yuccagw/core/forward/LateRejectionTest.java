package org.yuccagw.core.forward;

import static org.testng.Assert.assertFalse;

import java.time.Duration;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;

/**
 * A replacement that rejects a request after it has kept it for a while. Without a superclass, since the build can't
 * pass over single methods of a class that has one.
 */
public class LateRejectionTest {
    // Guards against giving up a paused stream for an endpoint that rejects the request after it has waited there.
    @Test
    public void aSilentStreamGoesOnIfTheOtherEndpointRejectsItLate() {
        ForwardScenario scenario = new ForwardScenario() {};
        scenario.createEffects();
        RecordedForwardEffects effects = scenario.effects;
        ForwardMachine machine = scenario.begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(scenario.placed("e1"));
        machine.onHead(1, ForwardScenario.ok());
        machine.onBytes(1, ForwardScenario.bytes("id: 1\ndata: a\n\n"));
        scenario.passSilenceTimeout(machine);
        machine.onPlacementDecision(scenario.placed("e2"));
        machine.onDelivery(2);
        effects.advance(Duration.ofMillis(150));
        machine.onTimer(TimerKind.OVERLAP, 2);
        machine.onHead(2, ForwardScenario.notRun(503));
        machine.onPlacementDecision(ForwardScenario.refused());
        assertFalse(effects.lines.contains("cut"), effects.lines.toString());
    }
}
