package org.magnoliabridge.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Keeps slopes as JSON and prints them as the Markdown table of the capacity page. */
public final class SlopeTable {
    /** The line before the generated table in the capacity page. */
    public static final String BEGIN = "<!-- slopes: begin -->";

    /** The line after the generated table in the capacity page. */
    public static final String END = "<!-- slopes: end -->";

    private static final ObjectMapper JSON = new ObjectMapper();

    private SlopeTable() {}

    /** Writes slopes to a JSON file. */
    public static void write(Path file, List<Slope> slopes) throws IOException {
        ArrayNode all = JSON.createArrayNode();
        for (Slope slope : slopes) {
            ObjectNode node = all.addObject();
            node.put("name", slope.name()).put("variable", slope.variable()).put("unit", slope.unit());
            ArrayNode points = node.putArray("points");
            slope.points().forEach(p -> points.addObject().put("size", p.size()).put("figure", p.figure()));
        }
        Files.writeString(file, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(all) + "\n");
    }

    /** Reads slopes from a JSON file; the lines are fitted anew. */
    public static List<Slope> read(Path file) throws IOException {
        List<Slope> slopes = new ArrayList<>();
        for (JsonNode node : JSON.readTree(Files.readString(file))) {
            List<Slope.Point> points = new ArrayList<>();
            node.get("points")
                    .forEach(p -> points.add(new Slope.Point(
                            p.get("size").asDouble(), p.get("figure").asDouble())));
            slopes.add(Slope.fit(
                    node.get("name").asText(),
                    node.get("variable").asText(),
                    node.get("unit").asText(),
                    points));
        }
        return slopes;
    }

    /** Returns the table in Markdown. */
    public static String markdown(List<Slope> slopes) {
        StringBuilder out = new StringBuilder();
        out.append("| slope | per | unit | sizes | at 0 | gradient | worst residual |\n");
        out.append("| --- | --- | --- | --- | --- | --- | --- |\n");
        for (Slope slope : slopes) {
            String sizes = String.join(
                    ", ", slope.points().stream().map(p -> number(p.size())).toList());
            out.append(String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %s | %s | %.1f%% |%n",
                    slope.name(),
                    slope.variable(),
                    slope.unit(),
                    sizes,
                    number(slope.intercept()),
                    number(slope.gradient()),
                    slope.worstResidual() * 100));
        }
        return out.toString();
    }

    /** Returns the page with its generated table replaced. */
    public static String replaceIn(String page, List<Slope> slopes) {
        int begin = page.indexOf(BEGIN);
        int end = page.indexOf(END);
        if (begin < 0 || end < begin) {
            throw new IllegalArgumentException("the page has no place for the table");
        }
        return page.substring(0, begin + BEGIN.length()) + "\n" + markdown(slopes) + page.substring(end);
    }

    private static String number(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e9) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
