// Command limpethubd is built in a later commit.
package main

func main() {}
