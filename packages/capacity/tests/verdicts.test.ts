import t from "tap";
import type { Measured } from "../src/measurement.js";
import { MEASUREMENTS } from "../src/measurements.js";
import { formatMeasured } from "../src/report.js";
import { fitPoints } from "../src/runMeasurement.js";
import { formatVerdicts, formatVerdictsMarkdown, judge } from "../src/verdicts.js";
import { VERDICT_RULES } from "../src/verdictTable.js";
import { PLANNED_FIGURES } from "./plannedFigures.js";

const SIZES = [1, 10, 100];

/** A run in which each figure is its intercept plus its slope times the size. */
const makeRun = (): Measured[] =>
    Object.entries(PLANNED_FIGURES).map(([name, figures]) => {
        const points = SIZES.map(size => ({
            size,
            values: Object.fromEntries(
                Object.entries(figures).map(([figure, [intercept, slope]]) => [figure, intercept + slope * size]),
            ),
        }));
        return { name, sizeUnit: "unit", points, series: fitPoints(points) };
    });

// Guards against a change of the arithmetic from slopes to figures that nobody notices.
void t.test("figures at the size to design for", t => {
    const verdicts = judge(makeRun());
    t.matchSnapshot(formatVerdicts(verdicts));
    t.notOk(verdicts.some(({ standing }) => standing === "not measured"));
    t.end();
});

// Guards against a figure that is over its budget and reported as within, at and around the bound.
void t.test("standing at the budget", t => {
    const rule = { role: "role", figure: "figure", unit: "ms", from: [], value: () => 10 };
    const standings = [9, 10, 11, undefined].map(budget =>
        judge([], [budget === undefined ? rule : { ...rule, budget }]).map(({ standing }) => standing)
    );
    t.same(standings, [["over"], ["within"], ["within"], ["no budget"]]);
    t.end();
});

// Guards against a figure below zero, which only noise can give, that passes for one within its budget.
void t.test("a line that falls below zero", t => {
    const rule = { role: "role", figure: "figure", unit: "%", from: [], budget: 1.5, value: () => -0.1 };
    t.same(judge([], [rule]).map(({ standing }) => standing), ["unresolved"]);
    t.end();
});

// Guards against a guess in place of a figure whose measurement is missing from the run.
void t.test("a run without measurements", t => {
    t.ok(judge([]).every(({ standing, value }) => standing === "not measured" && value === undefined));
    t.end();
});

// Guards against rules that name a measurement that the command does not have.
void t.test("measurements of the rules", t => {
    const unknown = VERDICT_RULES.flatMap(({ from }) => from).filter(name => !Object.hasOwn(MEASUREMENTS, name));
    t.same(unknown, []);
    t.end();
});

// Guards against tables that lose a column or a row.
void t.test("formats", t => {
    const [first] = makeRun();
    t.matchSnapshot(first === undefined ? "" : formatMeasured(first));
    t.matchSnapshot(formatVerdictsMarkdown(judge(makeRun()).slice(0, 3)));
    t.end();
});
