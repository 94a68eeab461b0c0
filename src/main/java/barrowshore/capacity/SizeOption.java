package barrowshore.capacity;

import barrowshore.config.ConfigException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Reads a number from the command line and, where it is none, says so on one line. */
public final class SizeOption extends OneArgumentOptionHandler<Double> {
    /** As args4j makes option handlers. */
    public SizeOption(CmdLineParser parser, OptionDef option, Setter<? super Double> setter) {
        super(parser, option, setter);
    }

    @Override
    protected Double parse(String text) throws CmdLineException {
        try {
            return Double.valueOf(text);
        } catch (NumberFormatException e) {
            throw new ConfigException(option + ": '" + text + "' is no number");
        }
    }

    /** The number as an int, or a {@link ConfigException} where it is a fraction or far too large. */
    public static int toWholeNumber(String option, double value) {
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw new ConfigException(option + " must be a whole number of a size that can be played, not " + value);
        }
        return (int) value;
    }
}
