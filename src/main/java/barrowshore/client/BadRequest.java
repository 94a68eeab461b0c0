package barrowshore.client;

/** An HTTP request that is answered with an error status before it becomes a job request. */
final class BadRequest extends Exception {
    private static final long serialVersionUID = 1;
    final int status;

    BadRequest(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }
}
