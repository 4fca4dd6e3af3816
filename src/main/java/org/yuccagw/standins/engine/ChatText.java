package org.yuccagw.standins.engine;

/** Renders the messages of a chat as one text: for each message its role, a newline, its content and a newline. */
public final class ChatText {
    /** The line that starts an answer. */
    static final String ANSWER_ROLE = "assistant\n";

    private ChatText() {}

    /** Renders one message. */
    public static String message(String role, String content) {
        return role + "\n" + content + "\n";
    }

    /** Returns the text that precedes the answer to these rendered messages. */
    public static String beforeAnswer(String renderedMessages) {
        return renderedMessages + ANSWER_ROLE;
    }
}
