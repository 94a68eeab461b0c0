package barrowshore.node;

import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/** Handles SIGHUP, which by default ends the JVM. */
final class HangUpSignal {
    private static final System.Logger LOG = System.getLogger("barrowshore.node.Node");

    private HangUpSignal() {}

    /**
     * Handles SIGHUP by the action; false: it was ignored when the process started, which the JVM does not change.
     * sun.misc.Signal is the only way: a shutdown hook also runs on SIGHUP but cannot stop the exit. It is used by
     * reflection, since direct use gives a compiler warning that cannot be suppressed.
     */
    static boolean handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal"), handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.invoke(action, args); // methods of Object
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            LOG.log(Level.WARNING, "SIGHUP cannot be handled and will end the process", e);
            return false;
        }
    }
}
