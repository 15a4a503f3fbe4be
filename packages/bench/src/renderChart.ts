import { parse, View } from "vega";
import type { TopLevelSpec } from "vega-lite";
import { compile } from "vega-lite";

/** The version of the language that the charts are written in. */
export const CHART_SCHEMA = "https://vega.github.io/schema/vega-lite/v6.json";

/** Draws a chart as SVG. */
export const renderChart = async (spec: TopLevelSpec): Promise<string> => {
    const view = new View(parse(compile(spec).spec), { renderer: "none" });
    try {
        return await view.toSVG();
    }
    finally {
        view.finalize();
    }
};
