#!/usr/bin/env node
import { runCommandLine } from "./commandLine.js";
import { exitCodes } from "./exitCodes.js";
import { createOperatorPorts } from "./operatorPorts.js";
import { programs } from "./programs.js";

try {
    process.exitCode = await runCommandLine(process.argv.slice(2), {
        environment: process.env,
        writeOutput: text => void process.stdout.write(text),
        writeError: text => void process.stderr.write(text),
        createPorts: createOperatorPorts,
        programs,
    });
}
catch (error) {
    process.stderr.write(`goldcrestpoint: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`);
    process.exitCode = exitCodes.failure;
}
