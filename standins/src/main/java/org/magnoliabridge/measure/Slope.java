package org.magnoliabridge.measure;

import java.util.List;

/**
 * A line fitted by least squares to figures at several sizes.
 *
 * @param name what was measured, for example {@code membership bytes per second}
 * @param variable what the size counts, for example {@code nodes}
 * @param unit the unit of the figures
 * @param points the figures
 * @param intercept the fitted figure at size 0
 * @param gradient the fitted change per unit of size
 * @param worstResidual the largest distance of a figure from the line, as a part of the largest figure
 */
public record Slope(
        String name,
        String variable,
        String unit,
        List<Point> points,
        double intercept,
        double gradient,
        double worstResidual) {
    /** Fewest sizes that a line is fitted to. */
    public static final int MIN_POINTS = 4;

    public Slope {
        points = List.copyOf(points);
    }

    /** A figure at a size. */
    public record Point(double size, double figure) {}

    /**
     * Fits a line.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #MIN_POINTS} points or all sizes are equal
     */
    public static Slope fit(String name, String variable, String unit, List<Point> points) {
        if (points.size() < MIN_POINTS) {
            throw new IllegalArgumentException("a line needs at least " + MIN_POINTS + " sizes");
        }
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanFigure = points.stream().mapToDouble(Point::figure).average().orElseThrow();
        double spread = points.stream()
                .mapToDouble(p -> (p.size() - meanSize) * (p.size() - meanSize))
                .sum();
        if (spread == 0) {
            throw new IllegalArgumentException("the sizes must differ");
        }
        double joint = points.stream()
                .mapToDouble(p -> (p.size() - meanSize) * (p.figure() - meanFigure))
                .sum();
        double gradient = joint / spread;
        double intercept = meanFigure - gradient * meanSize;
        return new Slope(name, variable, unit, points, intercept, gradient, worstResidual(points, intercept, gradient));
    }

    /** Returns the fitted figure at a size. */
    public double at(double size) {
        return intercept + gradient * size;
    }

    private static double worstResidual(List<Point> points, double intercept, double gradient) {
        double largest =
                points.stream().mapToDouble(p -> Math.abs(p.figure())).max().orElseThrow();
        double worst = points.stream()
                .mapToDouble(p -> Math.abs(p.figure() - intercept - gradient * p.size()))
                .max()
                .orElseThrow();
        return largest == 0 ? 0 : worst / largest;
    }
}
