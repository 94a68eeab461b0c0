package barrowshore.servers;

/** What a server has sent is not a valid answer to the request, so that its connection cannot be trusted any more. */
final class InvalidAnswerException extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvalidAnswerException(String message) {
        super(message + "; closing the connection");
    }

    InvalidAnswerException(String message, Throwable cause) {
        super(message + "; closing the connection", cause);
    }
}
