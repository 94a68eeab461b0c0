package barrowshore.capacity;

import barrowshore.config.ConfigException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Command-line option handler for a number; reports invalid text in one line. */
public final class SizeOption extends OneArgumentOptionHandler<Double> {
    /** Called by args4j. */
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

    /** Converts the number to an int; throws a {@link ConfigException} if it is not whole or does not fit. */
    public static int toWholeNumber(String option, double value) {
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw new ConfigException(option + " must be a whole number of a size that can be played, not " + value);
        }
        return (int) value;
    }
}
