package org.yuccagw.adapters.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Arrays;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.ErrorKind.Ran;
import org.yuccagw.core.error.ErrorKind.Retry;

/** Checks the rules that hold for every error kind. */
public class ErrorTableTest {
    private static final Pattern PLACEHOLDER = Pattern.compile("%s");
    private static final Set<String> TYPES = Set.of(
            "invalid_request_error",
            "authentication_error",
            "permission_error",
            "not_found_error",
            "rate_limit_error",
            "service_unavailable_error",
            "server_error");

    @DataProvider
    public Object[][] kinds() {
        return Arrays.stream(ErrorKind.values())
                .map(kind -> new Object[] {kind})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "kinds")
    public void everyKindIsAnsweredInTheFormatOfCompletionsApis(ErrorKind kind) throws Exception {
        JsonNode answer = new ObjectMapper().readTree(ErrorAnswers.body(kind.raise(arguments(kind))));
        assertEquals(answer.size(), 1);
        JsonNode error = answer.get("error");
        assertEquals(error.get("code").asText(), kind.code());
        assertTrue(TYPES.contains(error.get("type").asText()));
        assertEquals(error.get("ran").asText(), kind.ran().text());
        assertEquals(error.get("retry").asText(), kind.retry().text());
        assertEquals(error.size(), 5);
    }

    @Test(dataProvider = "kinds")
    public void everyTemplateUsesAllArgumentsAndLeavesNoPlaceholder(ErrorKind kind) {
        Object[] arguments = arguments(kind);
        String message = kind.raise(arguments).getMessage();
        for (Object argument : arguments) {
            assertTrue(message.contains(argument.toString()), message);
        }
        assertFalse(message.contains("%"), message);
    }

    @Test(dataProvider = "kinds")
    public void everyStatusIsAnErrorStatus(ErrorKind kind) {
        assertTrue(kind.status() >= 400 && kind.status() < 600);
    }

    @Test(dataProvider = "kinds")
    public void aRequestThatMayHaveRunIsRetriedOnlyIfIdempotent(ErrorKind kind) {
        if (kind.ran() != Ran.NOT_RUN && kind != ErrorKind.ALREADY_RUNNING && kind != ErrorKind.EDIT_UNCONFIRMED) {
            // The two excluded kinds carry an idempotency key or an edit id, so a retry has no second effect.
            assertTrue(kind.retry() == Retry.NEVER || kind.retry() == Retry.CALLER_IF_IDEMPOTENT, kind.name());
        }
    }

    @Test(dataProvider = "kinds")
    public void aRequestRejectedForOverloadOrLimitsMayBeRetried(ErrorKind kind) {
        if (kind.status() == 429 || kind.status() == 503) {
            assertTrue(kind.retry() != Retry.NEVER, kind.name());
        }
    }

    @Test
    public void retryAfterIsRoundedUpToSeconds() {
        assertEquals(ErrorAnswers.retryAfterSeconds(Duration.ZERO), 1);
        assertEquals(ErrorAnswers.retryAfterSeconds(Duration.ofSeconds(1)), 1);
        assertEquals(ErrorAnswers.retryAfterSeconds(Duration.ofMillis(1001)), 2);
    }

    private static Object[] arguments(ErrorKind kind) {
        Matcher placeholders = PLACEHOLDER.matcher(kind.template());
        return placeholders
                .results()
                .map(placeholder -> "argument-" + placeholder.start())
                .toArray();
    }
}
