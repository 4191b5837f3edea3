/**
 * Checked access to JSON objects: every field is read with its required type, and malformed input
 * is reported with the path of the field.
 */
package loadbalancer.json;
