export { type Gateway, type GatewayPorts, startGateway } from "./gatewayDaemon.js";
