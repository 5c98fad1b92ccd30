export { type AddressedOrigin, startWeightAgent, type WeightAgentPorts } from "./weightAgentDaemon.js";
