package barrowshore.wire;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code wirehost} hosts many dispatchers on the simulator's wire. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar barrowshore.jar wirehost");
            System.exit(2);
        }
        try {
            new WireHost(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException e) {
            System.err.println("barrowshore: " + e.getMessage());
            System.exit(1);
        }
    }
}
