package barrowshore.capacity;

/**
 * Counts the datagrams that one scheduler exchanges with its peers, and their bytes including the IP and UDP headers.
 */
final class DatagramCount {
    /** Bytes of the IP and UDP headers of a datagram. */
    static final int HEADER_BYTES = 28;

    private long sent;
    private long sentBytes;
    private long received;
    private long receivedBytes;

    void countSent(byte[] message) {
        sent++;
        sentBytes += message.length + HEADER_BYTES;
    }

    void countReceived(byte[] message) {
        received++;
        receivedBytes += message.length + HEADER_BYTES;
    }

    void reset() {
        sent = 0;
        sentBytes = 0;
        received = 0;
        receivedBytes = 0;
    }

    /** Returns the datagrams sent; one that is sent to several peers counts once. */
    long sent() {
        return sent;
    }

    long sentBytes() {
        return sentBytes;
    }

    long received() {
        return received;
    }

    long receivedBytes() {
        return receivedBytes;
    }
}
