import type { Fit } from "./fit.js";
import { valueAt } from "./fit.js";
import type { Measured } from "./measurement.js";

/** A figure that no measurement of this run gives. */
export class MissingFigure extends Error {
    constructor(readonly measurement: string, readonly figure: string) {
        super(`${measurement} did not measure "${figure}"`);
    }
}

/** The fits of a run by measurement and figure. */
export class FitBook {
    constructor(private readonly measured: readonly Measured[]) {}

    /** The fit of a figure; one that was not measured throws `MissingFigure`. */
    fit(measurement: string, figure: string): Fit {
        const series = this.measured.find(({ name }) => name === measurement)?.series;
        const found = series?.find(one => one.figure === figure);
        if (found === undefined) {
            throw new MissingFigure(measurement, figure);
        }
        return found.fit;
    }

    /** The value of a figure at a size. */
    at(measurement: string, figure: string, size: number): number {
        return valueAt(this.fit(measurement, figure), size);
    }

    slope(measurement: string, figure: string): number {
        return this.fit(measurement, figure).slope;
    }
}
