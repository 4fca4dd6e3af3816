package org.yuccagw.process;

import java.io.IOException;
import org.yuccagw.cli.GatewayMain;
import org.yuccagw.core.error.YuccagwException;

/** Runs an entry and prints when its whole process stood still. */
public final class PauseRecordingMain {
    private PauseRecordingMain() {}

    public static void main(String[] arguments) throws YuccagwException, InterruptedException, IOException {
        PauseRecorder.start(pause -> System.out.println(pause.toLine()));
        GatewayMain.main(arguments);
    }
}
