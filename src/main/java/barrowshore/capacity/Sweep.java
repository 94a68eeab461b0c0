package barrowshore.capacity;

import static barrowshore.capacity.CapacityTarget.TARGET;

import barrowshore.config.ConfigException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/** A series of fleet sizes that varies one dimension and leaves the others at the base size. */
public enum Sweep {
    WORKERS(FleetSize::workers, (size, to) -> size.withWorkers(to.intValue()), 96, 192, 385, 770, 1_540),
    SCHEDULERS(FleetSize::schedulers, (size, to) -> size.withSchedulers(to.intValue()), 5, 10, 20),
    STARTS(FleetSize::startsPerSecond, FleetSize::withStartsPerSecond, 130, 260, 520),
    TENANTS(FleetSize::tenants, (size, to) -> size.withTenants(to.intValue()), 11, 43, 86),
    LIST_CHANGES(
            FleetSize::listChangesPerSecond, FleetSize::withListChangesPerSecond, TARGET.listChangesPerSecond(), 5, 20),
    CONFIG_CHANGES(
            FleetSize::settingsChangesPerSecond,
            FleetSize::withSettingsChangesPerSecond,
            TARGET.settingsChangesPerSecond(),
            5,
            20);

    private final ToDoubleFunction<FleetSize> read;
    private final BiFunction<FleetSize, Double, FleetSize> change;
    private final double[] sizes;

    Sweep(ToDoubleFunction<FleetSize> read, BiFunction<FleetSize, Double, FleetSize> change, double... sizes) {
        this.read = read;
        this.change = change;
        this.sizes = sizes;
    }

    /** Returns the sweep's name on the command line. */
    public String key() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns a fleet's value in the varied dimension. */
    double sizeOf(FleetSize fleet) {
        return read.applyAsDouble(fleet);
    }

    /** Returns the fleets to simulate, which differ from the base in the varied dimension only. */
    List<FleetSize> fleets(FleetSize base) {
        return Arrays.stream(sizes).mapToObj(size -> change.apply(base, size)).toList();
    }

    /** Parses a comma-separated list of sweep names, {@code all}, or {@code none}. */
    public static List<Sweep> parseNames(String names) {
        if (names.equals("all")) {
            return List.of(values());
        }
        if (names.equals("none")) {
            return List.of();
        }
        return Arrays.stream(names.split(",")).map(Sweep::parseName).toList();
    }

    private static Sweep parseName(String name) {
        return Arrays.stream(values())
                .filter(sweep -> sweep.key().equals(name))
                .findFirst()
                .orElseThrow(() -> new ConfigException("--sweep: " + name + " is none of "
                        + Arrays.stream(values()).map(Sweep::key).collect(Collectors.joining(", ")) + ", all, none"));
    }
}
