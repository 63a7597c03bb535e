/** Parts that measurements and stand-ins of this repository need and that a daemon doesn't. */
export { chooseTarget } from './request/chooseTarget.js'
export { TargetState } from './request/targetState.js'
export { decodeReport } from './process/peers/decodeReport.js'
export { encodeReport } from './process/peers/encodeReport.js'
export { RouteTable } from './version/routeTable.js'
