import { measureAdmission } from "./admission.js";
import { measureIdempotency } from "./idempotency.js";
import type { MeasurementModule } from "./measurement.js";
import { measureRetry } from "./retry.js";
import { measureRouting } from "./routing.js";
import { measureState } from "./state.js";

/** Measured modules in the order in which they run. */
export const modules: readonly MeasurementModule[] = [
    measureRouting,
    measureAdmission,
    measureRetry,
    measureIdempotency,
    measureState,
];
