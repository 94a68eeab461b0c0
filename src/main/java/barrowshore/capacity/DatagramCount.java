package barrowshore.capacity;

/** Datagrams between schedulers as one of them sends and receives them, with the bytes that they take on the network. */
final class DatagramCount {
    /** Bytes of the IP and the UDP header before each payload. */
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

    /** Datagrams told, each counted once however many schedulers it goes to. */
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
